#define BROKEN_ASKED
#include "../era.pml"
