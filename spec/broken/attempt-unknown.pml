#define BROKEN_UNKNOWN
#include "../attempt.pml"
