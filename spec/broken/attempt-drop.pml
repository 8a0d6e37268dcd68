#define BROKEN_DROP
#include "../attempt.pml"
