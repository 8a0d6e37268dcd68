#define BROKEN_PEER
#include "../roster.pml"
