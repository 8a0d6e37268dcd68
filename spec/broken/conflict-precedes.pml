#define BROKEN_PRECEDES
#include "../conflict.pml"
