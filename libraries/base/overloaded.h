#pragma once

namespace lovagecleat {

// Builds one visitor for std::visit out of several lambdas.
template <typename... Visitors>
struct Overloaded : Visitors... {
  using Visitors::operator()...;
};
template <typename... Visitors>
Overloaded(Visitors...) -> Overloaded<Visitors...>;

}  // namespace lovagecleat
