#define BROKEN_INCARNATION
#include "../keys.pml"
