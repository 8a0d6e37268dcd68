#define BROKEN_ONE
#include "../confirm.pml"
