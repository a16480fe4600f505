import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What clients sent and what minions ran; checks that no task runs twice. */
final class Ledger {
    static final class Job {
        final String spec;
        final long cpu;
        final long memory;
        final long workMillis;

        Job(String spec, long cpu, long memory, long workMillis) {
            this.spec = spec;
            this.cpu = cpu;
            this.memory = memory;
            this.workMillis = workMillis;
        }
    }

    private final Map<String, Job> jobs = new HashMap<>();
    private final Map<String, List<String>> runningAt = new HashMap<>();
    private final Map<String, Integer> ends = new LinkedHashMap<>();
    private final Map<String, Boolean> isDoneNoted = new HashMap<>();
    final List<String> broken = new ArrayList<>();
    private int done;

    /** Returns the body that submits a job of [count] tasks in one step. */
    synchronized String body(String id, String spec, int count, long workMillis, long cpu, long memory, String more) {
        jobs.put(id, new Job(spec, cpu, memory, workMillis));
        return "{\"spec\":" + Json.write(spec) + ",\"steps\":[{\"count\":" + count + ",\"cpu\":" + cpu + ",\"mem_mb\":" + memory
            + ",\"estimate_ms\":" + workMillis + "}]" + more + "}";
    }

    synchronized Job job(String task) {
        return jobs.get(task.substring(0, 16));
    }

    private void breaks(String text) {
        broken.add(text);
        Rig.say("BROKEN " + text);
    }

    synchronized void started(String minion, String task, int run, String spec) {
        Rig.say("run " + run + " of " + task + " starts on " + minion);
        Job job = job(task);
        if (job == null) breaks("UNASKED: " + task + " was sent by no client");
        else if (!job.spec.equals(spec)) breaks("UNASKED: " + task + " starts with another spec");
        if (Boolean.TRUE.equals(isDoneNoted.get(task))) breaks("TWICE: " + task + " starts after a run that is done and taken note of");
        List<String> at = runningAt.computeIfAbsent(task, t -> new ArrayList<>());
        if (!at.isEmpty()) breaks("TWICE: " + task + " runs on " + at + " and " + minion);
        at.add(minion);
    }

    synchronized void ended(String minion, String task, int run, String how, long number) {
        Rig.say("run " + run + " of " + task + " ends on " + minion + ": " + how + ", end " + number);
        runningAt.get(task).remove(minion);
        if (how.equals("done")) done++;
        ends.merge(task.substring(0, 16) + " " + how, 1, Integer::sum);
    }

    synchronized void noted(String minion, String task, int run, String how) {
        if (how.equals("done")) isDoneNoted.put(task, true);
    }

    synchronized void crashed(String minion) {
        runningAt.values().forEach(at -> at.remove(minion));
    }

    /** Returns how many runs of a job have ended in one way. */
    synchronized int ends(String job, String how) {
        return ends.getOrDefault(job + " " + how, 0);
    }

    /** Returns the number of tasks with a run that ended done; the jobs here have one task each. */
    synchronized int doneJobs() {
        return done;
    }

    synchronized int runningTasks() {
        return (int) runningAt.values().stream().filter(at -> !at.isEmpty()).count();
    }

    synchronized boolean hasStarted(String job) {
        return runningAt.keySet().stream().anyMatch(task -> task.startsWith(job));
    }
}
