#define BROKEN_SENT
#include "../confirm.pml"
