#define BROKEN_SNAPSHOT
#include "../conflict.pml"
