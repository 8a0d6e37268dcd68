#define BROKEN_WITHDRAWN
#include "../release.pml"
