#define BROKEN_CONFIG
#include "../roster.pml"
