#define BROKEN_LOST
#include "../attempt.pml"
