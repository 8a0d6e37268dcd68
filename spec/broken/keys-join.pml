#define BROKEN_JOIN
#include "../keys.pml"
