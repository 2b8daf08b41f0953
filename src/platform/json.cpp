#include "platform/json.h"

#include <cmath>

namespace copperfront::platform {

const Json* field(const Json& object, const char* name) {
    const auto it = object.find(name);
    return it == object.end() || it->is_null() ? nullptr : &*it;
}

const Json& required_field(const Json& object, const char* name) {
    if (const Json* value = field(object, name)) return *value;
    throw BadInput(std::string("a field is missing: ") + name);
}

double as_number(const Json& value, const char* name) {
    if (!value.is_number()) throw BadInput(std::string("not a number: ") + name);
    return value.get<double>();
}

double required_number(const Json& object, const char* name) {
    return as_number(required_field(object, name), name);
}

double number_or(const Json& object, const char* name, double default_value) {
    const Json* value = field(object, name);
    return value ? as_number(*value, name) : default_value;
}

std::uint64_t required_unsigned(const Json& object, const char* name) {
    const Json& value = required_field(object, name);
    if (!value.is_number_integer() || (value.is_number_integer() && !value.is_number_unsigned() && value < 0))
        throw BadInput(std::string("not a whole number: ") + name);
    return value.get<std::uint64_t>();
}

std::string as_string(const Json& value, const char* name) {
    if (!value.is_string()) throw BadInput(std::string("not a text: ") + name);
    return value.get<std::string>();
}

std::string required_string(const Json& object, const char* name) {
    return as_string(required_field(object, name), name);
}

std::string string_or(const Json& object, const char* name, const char* default_value) {
    const Json* value = field(object, name);
    return value ? as_string(*value, name) : default_value;
}

bool flag(const Json& object, const char* name) {
    const Json* value = field(object, name);
    if (!value) return false;
    if (!value->is_boolean()) throw BadInput(std::string("not true or false: ") + name);
    return value->get<bool>();
}

const Json& object_or_empty(const Json& parent, const char* name) {
    static const Json empty = Json::object();
    const Json* value = field(parent, name);
    if (!value) return empty;
    if (!value->is_object()) throw BadInput(std::string("not an object: ") + name);
    return *value;
}

const Json& array_or_empty(const Json& parent, const char* name) {
    static const Json empty = Json::array();
    const Json* value = field(parent, name);
    if (!value) return empty;
    if (!value->is_array()) throw BadInput(std::string("not a list: ") + name);
    return *value;
}

std::int64_t us_from_ms(double ms) {
    if (!(std::abs(ms) < 1e15)) throw BadInput("a time out of bounds");
    return std::llround(ms * 1000.0);
}

Duration duration_or(const Json& object, const char* name, double default_ms) {
    return {us_from_ms(number_or(object, name, default_ms))};
}

}  // namespace copperfront::platform
