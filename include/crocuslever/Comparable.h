#pragma once

#include <utility>

namespace crocuslever {

/// Comparison operators for every value type with a `tie()` member, which returns a
/// tuple of references to the members that make up the value.
template <typename T, typename = decltype(std::declval<const T&>().tie())>
bool operator==(const T& a, const T& b) { return a.tie() == b.tie(); }

template <typename T, typename = decltype(std::declval<const T&>().tie())>
bool operator!=(const T& a, const T& b) { return !(a.tie() == b.tie()); }

template <typename T, typename = decltype(std::declval<const T&>().tie())>
bool operator<(const T& a, const T& b) { return a.tie() < b.tie(); }

} // namespace crocuslever
