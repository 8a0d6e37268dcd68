#define BROKEN_DRAINING
#include "../roster.pml"
