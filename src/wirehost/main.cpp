#include <iostream>

#include "wirehost/host.h"

int main() {
  std::ios::sync_with_stdio(false);
  std::cin.tie(nullptr);
  return troutstage::wirehost::run(std::cin, std::cout, std::cerr);
}
