#define BROKEN_REATTACH
#include "../keys.pml"
