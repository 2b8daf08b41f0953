// Typed access to the fields of untrusted JSON. The functions throw BadInput, which names the field, if a
// required field is missing or a field has the wrong type. No I/O.
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

// Returns null if the field is absent or null.
const Json* field(const Json& object, const char* name);
const Json& required_field(const Json& object, const char* name);
double as_number(const Json& value, const char* name);
double required_number(const Json& object, const char* name);
double number_or(const Json& object, const char* name, double default_value);
std::uint64_t required_unsigned(const Json& object, const char* name);
std::string as_string(const Json& value, const char* name);
std::string required_string(const Json& object, const char* name);
std::string string_or(const Json& object, const char* name, const char* default_value);
bool flag(const Json& object, const char* name);
const Json& object_or_empty(const Json& parent, const char* name);
const Json& array_or_empty(const Json& parent, const char* name);
std::int64_t us_from_ms(double ms);
Duration duration_or(const Json& object, const char* name, double default_ms);

}  // namespace copperfront::platform
