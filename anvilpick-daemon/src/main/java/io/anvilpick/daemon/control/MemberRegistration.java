package io.anvilpick.daemon.control;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.json.JsonMapper;
import io.anvilpick.membership.Member;
import io.anvilpick.membership.MemberTable;
import io.anvilpick.platform.Entry;
import io.anvilpick.platform.Platform;
import io.anvilpick.platform.PlatformException;
import org.jboss.logging.Logger;

/**
 * Keeps this daemon registered in the platform under a lease, and reads the other registered members. Used by one
 * thread.
 */
public final class MemberRegistration {
    private static final Logger LOG = Logger.getLogger(MemberRegistration.class);
    private static final long LEASE_MILLIS = 30_000;

    private final Platform platform;
    private final MemberTable members;
    private final JsonMapper json = new JsonMapper();
    private long lease;

    /** Creates a registration of this daemon, which is the own member of {@code members}. */
    public MemberRegistration(Platform platform, MemberTable members) {
        this.platform = platform;
        this.members = members;
    }

    /**
     * Renews the lease, or registers again if the lease has lapsed, and merges the registered members of the region.
     */
    public void refresh() throws PlatformException {
        Member own = members.self().orElseThrow();
        if (lease == 0 || !platform.renewLease(lease)) {
            lease = platform.grantLease(LEASE_MILLIS);
            platform.compareAndSet(keyPrefix(own) + own.instance(), Platform.ABSENT, toJson(own), lease);
        }
        for (Entry entry : platform.list(keyPrefix(own))) {
            merge(entry);
        }
    }

    /**
     * Merges a registered member. The stored heartbeat is that of registration, so an entry cannot keep a dead member
     * live for long.
     */
    private void merge(Entry entry) {
        try {
            members.merge(json.readValue(entry.value(), Member.class));
        } catch (JsonProcessingException e) {
            LOG.warnf("event=member_unreadable key=%s reason=\"%s\"", entry.key(), e.getOriginalMessage());
        }
    }

    private String toJson(Member member) {
        try {
            return json.writeValueAsString(member);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("member could not be serialized as JSON", e);
        }
    }

    private static String keyPrefix(Member member) {
        return "daemons/" + member.region() + "/";
    }
}
