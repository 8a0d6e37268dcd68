#define BROKEN_CHANGES
#include "../era.pml"
