#include <cassert>
int main() {}
