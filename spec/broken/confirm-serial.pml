#define BROKEN_SERIAL
#include "../confirm.pml"
