#include "terms.h"

namespace copperfront {

const char* text_of(Ending ending) {
    switch (ending) {
        case Ending::settled:
            return "completed";
        case Ending::error:
            return "error";
        case Ending::full:
            return "turned away";
        case Ending::late:
            return "timed out";
        case Ending::unreachable:
            return "could not connect";
        case Ending::broken:
            return "reset";
        case Ending::retracted:
            return "called off";
        case Ending::unsent:
            return "not sent";
        case Ending::read:
            return "prefilled";
    }
    return "";
}

}  // namespace copperfront
