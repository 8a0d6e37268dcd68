#define BROKEN_REVERT
#include "../era.pml"
