#define BROKEN_LATE
#include "../roster.pml"
