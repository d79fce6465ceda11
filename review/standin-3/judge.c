#include "http3.h"
int main(void){return 0;}
