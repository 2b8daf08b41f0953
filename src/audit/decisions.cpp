#include "audit/decisions.h"

#include <map>
#include <memory>
#include <vector>

#include "trace/disk.h"
#include "trace/story.h"

namespace copperfront::audit {

void add_explanations(Report& report, const std::string& folder, std::size_t max_per_rule) {
    if (report.breaches.empty()) return;
    std::vector<std::unique_ptr<trace::TraceFile>> files;
    std::vector<const trace::TraceFile*> file_pointers;
    for (const trace::Disk::FileEntry& entry : trace::RealDisk().list(folder)) {
        if (entry.name.size() < 5 || entry.name.substr(entry.name.size() - 4) != ".cft") continue;
        std::string why;
        auto source = trace::open_source(folder + "/" + entry.name, why);
        auto file = source ? trace::TraceFile::open(std::move(source), entry.name, why) : nullptr;
        if (!file) {
            report.notes.push_back("trace " + entry.name + ": " + why);
            continue;
        }
        file_pointers.push_back(file.get());
        files.push_back(std::move(file));
    }
    std::map<int, std::size_t> explained;
    for (Breach& breach : report.breaches) {
        trace::RequestName name;
        if (explained[breach.rule] >= max_per_rule || !trace::parse_request_name(breach.trace_name, name) ||
            name.origin.empty())
            continue;
        trace::StringTable pool;
        const trace::RequestRows found = trace::find_request(file_pointers, name, pool);
        breach.explanation = trace::explain_request(found.rows, pool);
        if (!breach.explanation.empty()) ++explained[breach.rule];
        for (const std::string& error : found.errors) report.notes.push_back("trace " + error);
    }
}

}  // namespace copperfront::audit
