#define BROKEN_ACCEPT
#include "../release.pml"
