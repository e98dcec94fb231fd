#pragma once

#include <ostream>
#include <type_traits>
#include <utility>

#include "crocuslever/Ids.h"

namespace crocuslever {

// Stream operators with which the messages of failed checks show ids and enum values.

template <typename Tag>
std::ostream& operator<<(std::ostream& out, const StrongId<Tag>& id) { return out << id.value(); }

template <typename E, typename = std::enable_if_t<std::is_enum_v<E>>, typename = decltype(toString(std::declval<E>()))>
std::ostream& operator<<(std::ostream& out, E value) { return out << toString(value); }

} // namespace crocuslever
