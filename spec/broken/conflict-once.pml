#define BROKEN_ONCE
#include "../conflict.pml"
