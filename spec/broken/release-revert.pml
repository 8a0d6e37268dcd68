#define BROKEN_REVERT
#include "../release.pml"
