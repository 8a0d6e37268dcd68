#define BROKEN_LEAVES
#include "../attempt.pml"
