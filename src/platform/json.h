// What is wanted of JSON that comes from outside: a field is there and of its sort, or BadInput says which is
// not. Free of I/O.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "core/units.h"

namespace copperfront::platform {

using Json = nlohmann::json;

struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Null where it is absent or null.
const Json* field(const Json& object, const char* name);
const Json& needed(const Json& object, const char* name);
double as_number(const Json& value, const char* name);
double number(const Json& object, const char* name);
double number_or(const Json& object, const char* name, double absent);
std::uint64_t whole(const Json& object, const char* name);
std::string as_text(const Json& value, const char* name);
std::string text(const Json& object, const char* name);
std::string text_or(const Json& object, const char* name, const char* absent);
bool flag(const Json& object, const char* name);
const Json& object_or_empty(const Json& parent, const char* name);
const Json& list_or_empty(const Json& parent, const char* name);
std::int64_t micros(double ms);
Span span_or(const Json& object, const char* name, double absent_ms);

}  // namespace copperfront::platform
