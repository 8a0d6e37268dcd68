#define BROKEN_REVISION
#include "../era.pml"
