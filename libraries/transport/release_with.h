#pragma once

#include <memory>

namespace lovagecleat::transport {

// A deleter that calls one C function, for std::unique_ptr.
template <auto kRelease>
struct ReleaseWith {
  template <typename Type>
  void operator()(Type* object) const {
    kRelease(object);
  }
};

}  // namespace lovagecleat::transport
