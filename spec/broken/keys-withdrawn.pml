#define BROKEN_WITHDRAWN
#include "../keys.pml"
