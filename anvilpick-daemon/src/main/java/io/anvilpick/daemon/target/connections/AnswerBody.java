package io.anvilpick.daemon.target.connections;

import io.netty.buffer.ByteBuf;
import java.util.ArrayList;
import java.util.List;

/**
 * The bytes of one body that arrives in parts. They are kept in segments, because a growing array would take three times their size
 * while it is copied. Not thread safe.
 */
final class AnswerBody {
    private static final int MAX_SEGMENT_BYTES = 64 * 1024;

    private final List<byte[]> fullSegments = new ArrayList<>();
    private byte[] segment = new byte[0];
    private int segmentSize;
    private int size;
    private int capacity;

    /** Returns the number of bytes. */
    int size() {
        return size;
    }

    /** Returns the number of bytes in memory: at most twice {@link #size}, and at most one segment more than it. */
    int capacity() {
        return capacity;
    }

    /** Appends the readable bytes of {@code content}. */
    void append(ByteBuf content) {
        while (content.isReadable()) {
            if (segmentSize == segment.length) {
                addSegment(content.readableBytes());
            }
            int length = Math.min(content.readableBytes(), segment.length - segmentSize);
            content.readBytes(segment, segmentSize, length);
            segmentSize += length;
            size += length;
        }
    }

    private void addSegment(int needed) {
        if (segmentSize > 0) {
            fullSegments.add(segment);
        }
        segment = new byte[Math.min(Math.max(needed, size), MAX_SEGMENT_BYTES)];
        segmentSize = 0;
        capacity += segment.length;
    }

    /** Returns the bytes in one array, which may be the only segment. */
    byte[] toByteArray() {
        if (fullSegments.isEmpty() && segmentSize == segment.length) {
            return segment;
        }
        byte[] bytes = new byte[size];
        int start = 0;
        for (byte[] full : fullSegments) {
            System.arraycopy(full, 0, bytes, start, full.length);
            start += full.length;
        }
        System.arraycopy(segment, 0, bytes, start, segmentSize);
        return bytes;
    }
}
