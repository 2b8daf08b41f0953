#include "terms.h"

namespace copperfront {

const char* text_of(Ending ending) {
    switch (ending) {
        case Ending::completed:
            return "completed";
        case Ending::error:
            return "error";
        case Ending::refused:
            return "turned away";
        case Ending::timed_out:
            return "timed out";
        case Ending::unreachable:
            return "could not connect";
        case Ending::connection_lost:
            return "reset";
        case Ending::cancelled:
            return "called off";
        case Ending::unsent:
            return "not sent";
        case Ending::prefilled:
            return "prefilled";
    }
    return "";
}

}  // namespace copperfront
