#define BROKEN_UNCONFIRMED
#include "../confirm.pml"
