#define BROKEN_NOTRUN
#include "../keys.pml"
