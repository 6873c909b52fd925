#pragma once

#include <memory>

namespace lovagecleat::transport {

// A deleter for std::unique_ptr that calls the C function `kRelease`.
template <auto kRelease>
struct ReleaseWith {
  template <typename Type>
  void operator()(Type* object) const {
    kRelease(object);
  }
};

}  // namespace lovagecleat::transport
