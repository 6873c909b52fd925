// Owns the precompiled form of Catch2 that all test binaries reuse.
#include <catch2/catch.hpp>
