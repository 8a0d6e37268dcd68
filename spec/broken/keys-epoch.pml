#define BROKEN_EPOCH
#include "../keys.pml"
