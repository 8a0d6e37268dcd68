#define BROKEN_LOWER
#include "../conflict.pml"
