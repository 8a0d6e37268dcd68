#define BROKEN_BEHIND
#include "../confirm.pml"
