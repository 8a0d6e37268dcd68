#define BROKEN_CONFLICT
#include "../conflict.pml"
