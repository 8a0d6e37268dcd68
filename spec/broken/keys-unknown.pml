#define BROKEN_UNKNOWN
#include "../keys.pml"
