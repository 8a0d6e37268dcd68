#define BROKEN_RETURN
#include "../keys.pml"
