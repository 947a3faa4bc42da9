package io.anvilpick.allowances;

/** The permission to send one request of a tenant. Thread safe. */
public interface AllowancePermit {
    /** Returns the permission, because no target has received the request. Another request may use it. */
    void giveBack();

    /** Returns a permission of a request that is not counted. */
    static AllowancePermit uncounted() {
        return () -> {};
    }
}
