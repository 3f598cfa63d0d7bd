package fordridge.rpc;

import fordridge.constraint.Book;
import fordridge.v1.ExplainReply;
import fordridge.v1.ExplainRequest;
import fordridge.v1.Misfit;
import fordridge.v1.OperatingGrpc;
import fordridge.v1.Spot;
import io.grpc.stub.StreamObserver;
import java.util.List;

/** What operators ask, answered from the book of rules on the placer's loop. */
public final class OperateService extends OperatingGrpc.OperatingImplBase {
    /** The placer's side of it. */
    public interface Books {
        Book book();

        int rulesVersion();

        /** Machines in the list now. */
        List<String> machines();

        /** A VM's name and its machine's, for a claim that the book counts. */
        List<String> named(Object claim);
    }

    private final Books books;

    public OperateService(Books books) {
        this.books = books;
    }

    @Override
    public void explain(ExplainRequest r, StreamObserver<ExplainReply> to) {
        Book book = books.book();
        ExplainReply.Builder b = ExplainReply.newBuilder().setVersion(books.rulesVersion());
        for (String m : books.machines()) {
            Spot.Builder s = Spot.newBuilder().setMachine(m)
                    .setAllowed(book.allows(r.getCustomer(), r.getFlavour(), r.getService(), m))
                    .setUnfit(book.unfit(r.getCustomer(), r.getFlavour(), r.getService(), m));
            book.why(r.getCustomer(), r.getFlavour(), r.getService(), m).forEach(w -> s.addReasons(words(w)));
            b.addSpots(s);
        }
        book.misfits().forEach((claim, why) -> {
            List<String> named = books.named(claim);
            Misfit.Builder x = Misfit.newBuilder().setVm(named.get(0)).setMachine(named.get(1));
            why.forEach(w -> x.addReasons(words(w)));
            b.addMisfits(x);
        });
        to.onNext(b.build());
        to.onCompleted();
    }

    private static String words(Book.Reason w) {
        return (w.rule() == null ? "" : "rule '" + w.rule().name() + "' ") + w.what();
    }
}
