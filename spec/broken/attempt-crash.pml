#define BROKEN_CRASH
#include "../attempt.pml"
