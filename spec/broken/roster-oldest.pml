#define BROKEN_OLDEST
#include "../roster.pml"
