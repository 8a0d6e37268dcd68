#define BROKEN_LATE
#include "../attempt.pml"
