#define BROKEN_CONFIRM
#include "../release.pml"
