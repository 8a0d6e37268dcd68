#define BROKEN_HOLDERS
#include "../conflict.pml"
